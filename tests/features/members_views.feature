Feature: Merging of membership entries

  Entries of a daemon can arrive in any order, more than once and through other daemons.

  Scenario: Merging does not depend on the order of the entries
    When entries from 300 random histories of a daemon are merged in two orders
    Then merging was commutative, associative and idempotent

  Scenario: A view with the last full entry has all endpoints of the daemon
    When 300 random histories and their last full entry are merged in random order
    Then every merged view has the endpoints of the daemon

  Scenario: Entries that arrive late do not bring back a daemon that has left
    When a table that lists a daemon as left merges random entries of it
    Then the daemon stays listed as left in the table

  Scenario: Datagrams of updates stay within their size limit
    When random queues of updates are drained into datagrams of at most 1200 bytes
    Then no datagram was larger and each update was sent as often as required

  Scenario: An entry too large for a datagram does not block the other entries
    Given a queue with an entry of 4000 bytes and 20 small ones
    When the queue is drained into datagrams of at most 1200 bytes
    Then the 20 small entries were sent as often as required

  Scenario: Gossip stays mostly within the data centre and still leaves it
    Given a daemon with 12 peers in its data centre and 24 in others
    When it samples 2 peers for gossip 2000 times
    Then between 10 and 20 percent of them are in other data centres
    And each sample has 2 different peers

  Scenario: A daemon alone in its data centre gossips with the others
    Given a daemon with 0 peers in its data centre and 24 in others
    When it samples 2 peers for gossip 200 times
    Then between 100 and 100 percent of them are in other data centres
    And each sample has 2 different peers
    And a round of probes covers all 24 peers

  Scenario: A round of probes covers the own data centre and some other daemons
    Given a daemon with 12 peers in its data centre and 24 in others
    Then each round of probes covers its 12 peers and 6 others

  Scenario Outline: Tables of any size are compared completely
    Given two tables of <count> members that differ in one entry
    When the first daemon exchanges tables with the second
    Then both tables are equal
    And the first request has <buckets> digests

    Examples:
      | count | buckets |
      | 5     | 16      |
      | 40    | 64      |
      | 600   | 256     |
