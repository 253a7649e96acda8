Feature: Announcements of targets over the fleet

  Background:
    Given a membership of 3 daemons

  Scenario: An announcement lapses and returns
    Given a member target e1 beside d1
    Then every member index shows e1 as READY beside d1 within 10 s
    When member target e1 stops announcing
    Then every member index shows e1 as LAPSED beside d1 within 10 s
    When member target e1 announces again
    Then every member index shows e1 as READY beside d1 within 10 s

  Scenario: A target that is killed is gone in the end
    Given a member target e1 beside d1
    Then every member index shows e1 as READY beside d1 within 10 s
    When member target e1 beside d1 is ended
    Then no member index shows e1 within 20 s

  Scenario: An endpoint moves to another host while the old one still announces
    Given a member target e1 beside d1
    Then every member index shows e1 as READY beside d1 within 10 s
    When member target e1 is also started beside d2
    Then every member index shows e1 as READY beside d2 within 10 s
    And the first target e1 is told that it moved to d2
    When member target e1 beside d2 is ended
    Then every member index shows e1 as READY beside d1 within 30 s
