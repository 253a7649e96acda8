Feature: Operation keys

  Background:
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And targets e3 of slot-desk beside d3
    And the fleet is ready with the settings of bantayog
    And calls of slot-desk may take 4000 ms

  Scenario: A repeat gets the kept answer from any daemon
    Given an operation key from d1
    When the keyed hold is sent to d1, d2, d3
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: Repeats in parallel join the one that runs
    Given an operation key from d2
    And every target takes 300 ms
    When the keyed hold is sent 8 times at once to d1, d3
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: A key that the fleet did not mint is refused
    Given the made-up operation key "lot-42"
    When the keyed hold is sent to d1
    Then the keyed answers are "not_run" because of "key_not_minted" with status 422
    And the targets ran the keyed hold exactly 0 times

  Scenario: A key with a forged signature is refused
    Given a forged operation key of d2
    When the keyed hold is sent to d1
    Then the keyed answers are "not_run" because of "key_not_minted" with status 422
    And the targets ran the keyed hold exactly 0 times

  Scenario: A key cannot be used for another request
    Given an operation key from d1
    When the keyed hold is sent to d1
    And another hold is sent with the same key to d2
    Then the keyed answers are "not_run" because of "key_reused" with status 422
    And the targets ran the keyed hold exactly 1 time

  Scenario: The home was killed
    Given an operation key from d3
    When the keyed hold is sent to d1
    And daemon d3 is killed
    And the keyed hold is sent to d1, d2
    Then the last 2 keyed answers are "unknown" with status 504
    And the targets ran the keyed hold exactly 1 time

  Scenario: The home was replaced under the same address
    Given an operation key from d3
    When the keyed hold is sent to d1
    And daemon d3 is killed and started again
    And the keyed hold is sent to d1, d2, d3
    Then the last 3 keyed answers are "unknown" with status 504
    And the targets ran the keyed hold exactly 1 time

  Scenario: The home was shut down as planned
    Given an operation key from d3
    When the keyed hold is sent to d1
    And daemon d3 gets SIGTERM
    And the keyed hold is sent to d1, d2
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: An unused key outlives the planned shutdown of its home
    Given an operation key from d3
    When daemon d3 gets SIGTERM
    And the keyed hold is sent to d1, d2
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: The way back from the home is cut
    Given an operation key from d2
    When the way back from d2 to d1 is cut
    And the keyed hold is sent to d1, d1, d3
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: The life of a key has ended
    Given a daemon d4 whose operation keys live 300 ms
    And an operation key from d4
    When the keyed hold is sent to d4
    And the life of the operation key has ended
    And the keyed hold is sent to d1, d4
    Then the last 2 keyed answers are "unknown" with status 504
    And the targets ran the keyed hold exactly 1 time

  Scenario: The reply of the hand-over of an unused key is lost
    Given an operation key from d3
    When the way back from d1 to d3 is cut
    And daemon d3 gets SIGTERM
    And the keyed hold is sent to d1, d2
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time

  Scenario: The hand-over never arrives
    Given an operation key from d3
    When the keyed hold is sent to d1
    And the way from d3 to d1 is cut
    And daemon d3 gets SIGTERM
    And the keyed hold is sent to d1, d2
    Then the last 2 keyed answers are "unknown" with status 504
    And the targets ran the keyed hold exactly 1 time

  Scenario: The home is shut down while the operation runs
    Given an operation key from d3
    And every target takes 600 ms
    When the keyed hold is sent to d1 while daemon d3 gets SIGTERM
    And the keyed hold is sent to d1, d2
    Then every keyed answer is the same with status 200
    And the targets ran the keyed hold exactly 1 time
