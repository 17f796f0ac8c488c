/**
 * Declared objects and their validation, verification of keys, and adoption of published
 * configurations.
 *
 * <p>{@link org.oleanderstep.core.configuration.ConfigurationChecker} validates {@link
 * org.oleanderstep.core.configuration.Declarations} before they are published; {@link
 * org.oleanderstep.core.configuration.ConfigurationAdopter} decides in each process which published
 * {@link org.oleanderstep.core.configuration.Configuration} is in force.
 */
package org.oleanderstep.core.configuration;
