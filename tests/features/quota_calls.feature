Feature: Quotas of client accounts through daemons

  Background:
    Given a platform fleet of 2 daemons with quotas
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of slot-desk beside d2

  Scenario: The daemons together accept the burst of an account, and refuse more at once
    Given the operator has written version 4 with the quotas acme key-1 2 6; bravo key-2 0 0
    And the platform fleet is ready
    When 15 calls with key-1 and 15 calls with key-2 are sent to each daemon
    Then at least 6 calls with key-1 get 200, as many as accrue, and the others 429
    And all calls with key-2 get 200
    And the targets have run as many calls as got 200

  # A quota of less than one call in a window must still allow one.
  Scenario: An account with a rate and a burst below 1 gets its call
    Given the operator has written version 4 with the quotas acme key-1 0.05 0.2
    And the platform fleet is ready
    When 2 calls with key-1 and 0 calls with key-2 are sent to each daemon
    Then at least 1 calls with key-1 get 200, as many as accrue, and the others 429

  # A call that no target ran would otherwise use up the quota of its repeat.
  Scenario: A call that is not run uses up no quota
    Given the operator has written version 4 with the quotas acme key-1 0.05 1
    And the platform fleet is ready
    When a call with key-1 to a service without targets gets 503 at d1
    Then calls with key-1 get 200 at d2

  # The membership takes over 3 s to declare a daemon dead.
  Scenario: The other daemon decides when the process of the keeper has ended
    Given the operator has written version 4 with the quotas acme key-1 9 9; bravo key-2 9 9; carol key-3 9 9; dora key-4 9 9
    And the platform fleet is ready
    When the process of d2 is killed
    Then calls with key-1, key-2, key-3, key-4 get 200, 200, 200, 200 at d1
