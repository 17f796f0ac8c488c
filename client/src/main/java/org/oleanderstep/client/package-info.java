/**
 * HTTP clients for the Avatica JDBC driver.
 *
 * <p>Applications set {@link org.oleanderstep.client.OleanderstepHttpClient} as {@code
 * httpclient_impl} of the standard driver and use JDBC as usual:
 *
 * <pre>{@code
 * String url = "jdbc:avatica:remote:url=http://10.0.0.1:8765/v1/carrom-main/orders"
 *     + "?proxies=10.0.0.2:8765,10.0.0.3:8765"
 *     + ";serialization=protobuf;authentication=BASIC"
 *     + ";httpclient_impl=org.oleanderstep.client.OleanderstepHttpClient";
 * Properties key = new Properties();
 * key.setProperty("avatica_user", keyId);
 * key.setProperty("avatica_password", secret);
 * try (Connection connection = DriverManager.getConnection(url, key);
 *     Statement statement = connection.createStatement();
 *     RequestIds.Scope scope = RequestIds.use(orderConfirmationId)) {
 *   statement.executeUpdate("update orders set confirmed = true where id = 17");
 * }
 * }</pre>
 */
package org.oleanderstep.client;
