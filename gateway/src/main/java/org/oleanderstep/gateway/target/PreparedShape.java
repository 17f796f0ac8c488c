package org.oleanderstep.gateway.target;

import org.oleanderstep.gateway.session.StatementEffect;

/** What a prepared statement does, whatever its name on a connection is. */
public record PreparedShape(StatementEffect effect, String template) {}
