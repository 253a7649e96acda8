Feature: Messages of the platform

  Scenario: Records come back with their keys and offsets
    Given a store and its client
    When the client appends "one" under a and "two" under b to presence
    Then a read from 0 returns "one" under a at 0 and "two" under b at 1
    And a read from 2 returns nothing and leads on at 2

  Scenario: The newest record of each key
    Given a store and its client
    When the client appends "one" under a and "two" under a to presence
    Then the newest records are "two" under a at 1

  Scenario: All pages of the newest records
    Given a store and its client
    When the client appends records under 501 keys to presence
    Then there are 501 newest records

  Scenario: Records that were dropped
    Given a store and its client
    When the client appends "one" under a and "two" under b to presence
    And the store drops the records before 1
    Then a read from 0 says that 1 is the oldest offset

  Scenario Outline: A store that does not serve
    Given a store and its client
    When the store has <faults>
    Then an append raises <append> and a read raises <read>

    Examples:
      | faults              | append          | read            |
      | {"status": 503}     | LogUnavailable  | LogUnavailable  |
      | {"status": 429}     | LogUnavailable  | LogUnavailable  |
      | {"down": true}      | LogUnavailable  | LogUnavailable  |
      | {"garbage": true}   | LogReplyInvalid | LogReplyInvalid |

  Scenario: A store that cannot be reached has appended nothing
    Given a client of a store that is not there
    Then an append raises LogUnreachable and a read raises LogUnavailable

  Scenario: An append whose answer is lost took effect
    Given a store and its client
    When the store has {"lose_replies": 1}
    Then an append raises LogUnavailable
    And a read from 0 returns one record

  Scenario: A configuration becomes a tree
    When a configuration with version 7 is decoded
    Then the tree has revision 7
    And the route of desk.example/split/ has the parts huvo11a 90 and wuno96b 10
    And it may be repeated, within 2000 ms, 2 attempts, objective 1000 ms, rank 2
    And the route of desk.example/hold/ may not be repeated

  Scenario Outline: A configuration that cannot be used
    When a configuration with <fault> is decoded
    Then the configuration is refused

    Examples:
      | fault              |
      | no version         |
      | no routes          |
      | an unknown kind    |
      | a text as time     |
      | no backend at all  |
      | a list as document |
