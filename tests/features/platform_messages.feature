Feature: The platform's log client and configuration documents

  Scenario: Records are read back with their keys and offsets
    Given a store and its client
    When the client appends "one" with key a and "two" with key b to the topic presence
    Then a read from offset 0 returns "one" with key a at 0 and "two" with key b at 1
    And a read from offset 2 returns no records and next offset 2

  Scenario: Reading the newest records returns one record per key
    Given a store and its client
    When the client appends "one" with key a and "two" with key a to the topic presence
    Then the newest records are "two" with key a at offset 1

  Scenario: Reading the newest records fetches all pages
    Given a store and its client
    When the client appends one record for each of 501 keys to the topic presence
    Then reading the newest records returns 501 records

  Scenario: A read of dropped records reports the oldest available offset
    Given a store and its client
    When the client appends "one" with key a and "two" with key b to the topic presence
    And the store drops the records before offset 1
    Then a read from offset 0 reports 1 as the oldest offset

  Scenario Outline: Each store failure raises the matching client error
    Given a store and its client
    When the store has the faults <faults>
    Then an append raises <append> and a read raises <read>

    Examples:
      | faults              | append          | read            |
      | {"status": 503}     | LogUnavailable  | LogUnavailable  |
      | {"status": 429}     | LogUnavailable  | LogUnavailable  |
      | {"down": true}      | LogUnavailable  | LogUnavailable  |
      | {"garbage": true}   | LogReplyInvalid | LogReplyInvalid |

  Scenario: An append to an unreachable store is known to have no effect
    Given a client of a store that is not running
    Then an append raises LogUnreachable and a read raises LogUnavailable

  # A presence record that took effect late replaced a newer one.
  Scenario: An append that takes effect late does not replace a later one
    Given a store and its client
    When the store has the faults {"late_appends_ms": 300}
    And the client appends "one" with key a, numbered 1, unanswered
    And the client appends "two" with key a, numbered 2
    Then the newest record of key a is "two" 600 ms later

  Scenario: An append takes effect although its response is lost
    Given a store and its client
    When the store has the faults {"lose_replies": 1}
    Then an append raises LogUnavailable
    And a read from offset 0 returns one record

  Scenario: A configuration is decoded into a settings snapshot
    When a configuration with version 7 is decoded
    Then the snapshot has revision 7
    And the route of desk.example/split/ has the backends huvo11a with weight 90 and wuno96b with weight 10
    And that route is idempotent with time limit 2000 ms, 2 attempts, latency objective 1000 ms and priority 2
    And the route of desk.example/hold/ is not idempotent

  Scenario Outline: An invalid configuration is rejected
    When a configuration with <fault> is decoded
    Then decoding the configuration fails

    Examples:
      | fault              |
      | no version         |
      | no routes          |
      | a text as time     |
      | no backend at all  |
      | a list as document |
      | an endless time    |
      | an absurd version  |
      | deep nesting       |

  Scenario Outline: A document that cannot be applied leaves the previous one in force
    Given a daemon that has applied a configuration with version 7
    When it reads a configuration with <fault>
    Then its settings still have revision 7
    And its log names the document and the reason

    Examples:
      | fault             |
      | an endless time   |
      | an absurd version |
      | deep nesting      |

  Scenario Outline: A heartbeat whose slots cannot be published is refused
    Given a target registry
    When a heartbeat with <slots> slots is handled
    Then its status is <status>
    And the endpoints can still be published

    Examples:
      | slots         | status |
      | 5             | 200    |
      | 10000         | 200    |
      | 10001         | 400    |
      | 1099511627776 | 400    |
