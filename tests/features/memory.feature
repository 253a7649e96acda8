Feature: Bodies are streams

  Background:
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    And the memory of daemons is noted after small bodies

  Scenario: A download of 64 MB stays out of the daemons' memory
    When a streaming caller downloads 64 MB from d1 at full speed
    Then the memory of no daemon has grown by more than 8 MB

  Scenario: A download of 64 MB by a slow reader stays out of the daemons' memory
    When a streaming caller downloads 64 MB from d1 with pauses
    Then the memory of no daemon has grown by more than 8 MB

  Scenario: An upload of 64 MB stays out of the daemons' memory
    When a streaming caller uploads 64 MB to d1
    Then the memory of no daemon has grown by more than 8 MB
