@alone
Feature: Clients that do anything at all exhaust neither memory nor descriptors

  Background:
    Given 3 daemons of 120 MB and 512 descriptors with one target of 32 slots each

  Scenario Outline: Clients of all daemons
    When 200 random clients of each daemon come and go with seed <seed>
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | seed |
      | 5901 |
      | 5902 |

  Scenario: Clients of one daemon, most of whose calls run beside others
    When 250 random clients of d1 come and go with seed 5903
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

  Scenario: Clients of all daemons while these get SIGHUP and restart
    When 150 random clients of each daemon come and go with seed 5904 while daemons get SIGHUP and restart
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors
