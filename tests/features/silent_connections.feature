Feature: Connections that fall silent cost calls no more than a few round trips

  Background:
    Given a linked platform fleet of 4 daemons in makati, with links between d1 and the others and to the store
    And endpoints e2 of slot-desk beside d2
    And endpoints e3 of slot-desk beside d3
    And endpoints e4 of slot-desk beside d4
    And the operator has written configuration version 3
    And the platform fleet is ready

  Scenario: Calls in flight and new ones are served after the connections of a daemon fall silent
    When clients of d1 send lookups and holds at 40 a second, and its connections to peers fall silent after 2 s
    Then at most 1 in 100 calls after the cut is not answered with 200
    And the slowest call after the cut takes at most 300 ms longer than the slowest before
    And the median of the calls in the second after the cut is at most 60 ms longer
    And no hold has run twice

  Scenario: Calls are served after the connections of a daemon fall silent twice
    When clients of d1 send lookups and holds at 40 a second, and its connections to peers fall silent after 2 s and again after 3 s
    Then at most 1 in 100 calls after the cut is not answered with 200
    And the slowest call after the cut takes at most 300 ms longer than the slowest before
    And the median of the calls in the second after the cut is at most 60 ms longer
    And no hold has run twice

  Scenario: Calls of all sizes are served after the connections from and to a daemon fall silent
    Given endpoints e1 of slot-desk beside d1
    And endpoints p1 of proof-vault beside d1
    And endpoints p2 of proof-vault beside d2
    And endpoints p3 of proof-vault beside d3
    And endpoints p4 of proof-vault beside d4
    And the platform fleet is ready
    When clients of each daemon send calls of all sizes at 20 a second, and the connections from and to d1 fall silent after 2 s
    Then at most 1 in 100 calls after the cut is not answered with 200
    And the slowest call of each size after the cut takes at most 300 ms longer than the slowest before
    And the median of the calls of each size in the second after the cut is at most 60 ms longer
    And no hold has run twice
