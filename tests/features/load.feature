Feature: What callers get under load and faults, played in virtual time

  Scenario: Calls that may run once avoid targets whose latest calls failed
    Given 12 model targets, of which each hangs 50 percent of its calls for 6 s in turn
    When 25 s of holds at 30 calls a second are played with and without doubt
    Then without doubt at least 1.4 times as many holds are lost
    And no hold has run twice, and none that was refused has run

  Scenario: Targets that were slow for a while take calls again
    Given 6 model targets that are all 8 times as slow from 3 s to 8 s
    When 14 s of holds at 20 calls a second are played
    Then every target has run holds in the last 3 s
    And no hold has run twice, and none that was refused has run

  Scenario: A failover that finds no place does not end the attempt that runs
    Given 2 model targets with 1 slot each, one of which is busy for 10 s
    When a lookup that takes 2500 ms is sent to the other one with 4000 ms left
    Then its caller gets the answer after 2500 ms
    And the lookup has run once

  Scenario: Short calls are served while long ones fill the slots
    Given 6 model targets of 4 slots
    When 20 s near the capacity are played with and without short calls first
    Then at least 2.0 times as many checks are lost without it
    And at most 5 percent of the holds are lost in addition
    And no hold has run twice, and none that was refused has run
