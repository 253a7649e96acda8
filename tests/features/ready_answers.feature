@alone
Feature: Answers of calls that have run reach their callers while clients fill the memory

  Background:
    Given 3 daemons of 120 MB and 512 descriptors with one target of 32 slots each that give up transfers after 50000 ms
    And a caller with an open connection to each daemon

  Scenario Outline: Answers in one message and in chunks
    When <count> clients of each daemon hold connections of the kind "<kind>"
    Then each caller gets an answer of 2000 bytes on its connection
    And each caller gets an answer of 2000 bytes in chunks on its connection
    And each caller gets an answer of 65536 bytes on its connection
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind                   | count |
      | short of the last byte | 200   |
      | sent ahead             | 200   |
