Feature: Joining of views

  Entries of one daemon come in any order, more than once, and by way of others.

  Scenario: The order of joining does not matter
    When entries from 300 random histories of a daemon are joined in two orders
    Then joining was commutative, associative and idempotent

  Scenario: Whoever has heard the last full entry holds what the daemon holds
    When 300 random histories end with a full entry that comes first or last
    Then every joined view has the endpoints of the daemon

  Scenario: A gone daemon does not come back by late news
    When a table hears random entries of a daemon after its last word
    Then the daemon stays gone in the table

  Scenario: Datagrams stay within their limit
    When random queues of updates are emptied by datagrams of 1200 bytes
    Then no datagram was larger and each update went out as often as it should

  Scenario: An entry that fits into no datagram holds up no other
    Given a queue with an entry of 4000 bytes and 20 small ones
    When the queue is emptied by datagrams of 1200 bytes
    Then the 20 small entries went out as often as they should
