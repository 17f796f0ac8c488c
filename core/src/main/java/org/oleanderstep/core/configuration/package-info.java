/**
 * Declared objects, their validation, the verification of keys and the adoption of published sets.
 *
 * <p>{@link org.oleanderstep.core.configuration.ConfigurationChecker} validates {@link
 * org.oleanderstep.core.configuration.Declarations} before they are published; {@link
 * org.oleanderstep.core.configuration.ConfigurationAdopter} decides on each process which published
 * {@link org.oleanderstep.core.configuration.Configuration} is in force.
 */
package org.oleanderstep.core.configuration;
