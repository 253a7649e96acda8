Feature: Target announcements reach all daemons

  Background:
    Given a membership of 3 daemons

  Scenario: A target lapses when its announcements stop and returns with them
    Given a member target e1 beside d1
    Then every member table shows e1 as READY beside d1 within 10 s
    When member target e1 stops announcing
    Then every member table shows e1 as LAPSED beside d1 within 10 s
    When member target e1 announces again
    Then every member table shows e1 as READY beside d1 within 10 s

  Scenario: A killed target is removed from all member tables
    Given a member target e1 beside d1
    Then every member table shows e1 as READY beside d1 within 10 s
    When member target e1 beside d1 is killed
    Then no member table shows e1 within 20 s

  Scenario: An endpoint moves to another host while its old process still announces
    Given a member target e1 beside d1
    Then every member table shows e1 as READY beside d1 within 10 s
    When member target e1 is also started beside d2
    Then every member table shows e1 as READY beside d2 within 10 s
    And the announcement of the first target e1 is refused because it moved to d2
    When member target e1 beside d2 is killed
    Then every member table shows e1 as READY beside d1 within 30 s
