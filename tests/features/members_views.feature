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
