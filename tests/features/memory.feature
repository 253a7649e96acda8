Feature: Daemons stream bodies without buffering them whole

  Background:
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    And the peak memory of the daemons is recorded after small bodies

  Scenario: A download of 64 MB is not buffered in the daemons
    When a streaming caller downloads 64 MB from d1 at full speed
    Then the peak memory of no daemon grows by more than 8 MB

  Scenario: A download of 64 MB by a slow reader is not buffered in the daemons
    When a streaming caller downloads 64 MB from d1 with pauses
    Then the peak memory of no daemon grows by more than 8 MB

  Scenario: An upload of 64 MB is not buffered in the daemons
    When a streaming caller uploads 64 MB to d1
    Then the peak memory of no daemon grows by more than 8 MB
