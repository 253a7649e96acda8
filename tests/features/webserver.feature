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

  Scenario: A connection that is opened just before listening ends may send its request later
    Given a server that closes connections that are idle for 60000 ms
    When 20 connections opened 50 ms before the end of the notice period of a drain of 4000 ms send a request 300 ms later
    Then all requests are answered

  Scenario: A new connection that sends nothing does not delay the end of a drain
    Given a server that closes connections that are idle for 60000 ms
    When 1 connections opened 50 ms before the end of the notice period of a drain of 1000 ms send a request 2000 ms later
    Then the drain ended within 1400 ms

  Scenario: A caller that reads late gets the whole response within the time of a drain
    Given a server whose responses have 12000000 bytes
    When a caller begins to read the response 1500 ms after a drain of 2500 ms began
    Then the caller gets all bytes

  Scenario: A caller that does not read does not delay the end of a drain
    Given a server whose responses have 12000000 bytes
    When a caller begins to read the response 4000 ms after a drain of 1000 ms began
    Then the drain ended within 1400 ms
