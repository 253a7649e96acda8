Feature: Connections of callers when they end

  Scenario: A request that arrived while the daemon was suspended survives the idle time-out
    Given a server that closes connections that are idle for 300 ms
    When a request is sent on an idle connection while the server is suspended for 600 ms
    Then the request is answered

  Scenario: A request that arrived while the daemon was suspended is read before a drain ends
    Given a server that closes connections that are idle for 60000 ms
    When a request is sent on an idle connection while the server is suspended and then stops listening
    Then the request is answered

  Scenario: A connection that is accepted while listening ends gets its answer
    Given a server that closes connections that are idle for 60000 ms
    When 20 new connections send a request while the server is suspended and then stops listening
    Then all requests are answered
