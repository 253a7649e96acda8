Feature: Operation keys

  A daemon mints operation keys and is the home of those keys: it keeps the response of
  the request that used the key, so that repeats do not run the operation again.
  A graceful shutdown hands keys and responses over to another daemon.

  Background:
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And targets e3 of slot-desk beside d3
    And the fleet is ready with the settings of bantayog
    And calls of slot-desk have a time limit of 4000 ms

  Scenario: A repeat gets the stored response from any daemon
    Given an operation key minted by d1
    When the keyed request is sent to d1, d2, d3
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: Parallel repeats share the response of the running request
    Given an operation key minted by d2
    And every target has a latency of 300 ms
    When the keyed request is sent 8 times in parallel to d1, d3
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: A key that the fleet did not mint is refused
    Given the operation key "lot-42" that no daemon minted
    When the keyed request is sent to d1
    Then the keyed responses have outcome "not_run", reason "key_not_minted", status 422
    And the targets ran the keyed request exactly 0 times

  Scenario: A key with a forged signature is refused
    Given an operation key of d2 with a forged signature
    When the keyed request is sent to d1
    Then the keyed responses have outcome "not_run", reason "key_not_minted", status 422
    And the targets ran the keyed request exactly 0 times

  Scenario: A key cannot be used for another request
    Given an operation key minted by d1
    When the keyed request is sent to d1
    And a different request is sent with the same key to d2
    Then the keyed responses have outcome "not_run", reason "key_reused", status 422
    And the targets ran the keyed request exactly 1 time

  Scenario: A repeat after the home was killed has an unknown outcome
    Given an operation key minted by d3
    When the keyed request is sent to d1
    And daemon d3 is killed
    And the keyed request is sent to d1, d2
    Then the last 2 keyed responses have outcome "unknown" and status 504
    And the targets ran the keyed request exactly 1 time

  Scenario: A repeat after the home was replaced at its address has an unknown outcome
    Given an operation key minted by d3
    When the keyed request is sent to d1
    And daemon d3 is killed and started again
    And the keyed request is sent to d1, d2, d3
    Then the last 3 keyed responses have outcome "unknown" and status 504
    And the targets ran the keyed request exactly 1 time

  Scenario: A stored response survives the graceful shutdown of the home
    Given an operation key minted by d3
    When the keyed request is sent to d1
    And daemon d3 gets SIGTERM
    And the keyed request is sent to d1, d2
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: An unused key survives the graceful shutdown of its home
    Given an operation key minted by d3
    When daemon d3 gets SIGTERM
    And the keyed request is sent to d1, d2
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: A request runs once although replies of the home are lost
    Given an operation key minted by d2
    When the way back from d2 to d1 is cut
    And the keyed request is sent to d1, d1, d3
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: A repeat with an expired key has an unknown outcome
    Given a daemon d4 whose operation keys expire after 300 ms
    And an operation key minted by d4
    When the keyed request is sent to d4
    And the operation key has expired
    And the keyed request is sent to d1, d4
    Then the last 2 keyed responses have outcome "unknown" and status 504
    And the targets ran the keyed request exactly 1 time

  Scenario: An unused key survives the loss of the reply to its hand-over
    Given an operation key minted by d3
    When the way back from d1 to d3 is cut
    And daemon d3 gets SIGTERM
    And the keyed request is sent to d1, d2
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time

  Scenario: A repeat has an unknown outcome after the hand-over of its key was lost
    Given an operation key minted by d3
    When the keyed request is sent to d1
    And the way from d3 to d1 is cut
    And daemon d3 gets SIGTERM
    And the keyed request is sent to d1, d2
    Then the last 2 keyed responses have outcome "unknown" and status 504
    And the targets ran the keyed request exactly 1 time

  Scenario: A running request survives the graceful shutdown of the home
    Given an operation key minted by d3
    And every target has a latency of 600 ms
    When the keyed request is sent to d1 while daemon d3 gets SIGTERM
    And the keyed request is sent to d1, d2
    Then all keyed responses are equal with status 200
    And the targets ran the keyed request exactly 1 time
