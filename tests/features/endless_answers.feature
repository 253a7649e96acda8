Feature: Bytes of a target without end do not harm daemons and callers

  Background:
    Given a fleet of 2 daemons in makati, pasig whose answers have 24 MB at most
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    And the peak memory of the daemons is recorded after small bodies

  Scenario Outline: An answer whose <part> has no end is not a success
    When target p1 sends answers whose <part> has no end
    And a caller sends a lookup to proof-vault through d1 with a time limit of 4 s
    Then the caller gets no complete answer, and that within 3 s
    And target p1 has sent at most 40 MB and its connection is closed
    And the peak memory of no daemon grows by more than 8 MB

    Examples:
      | part    |
      | header  |
      | fields  |
      | interim |
      | chunked |

  Scenario: A health check whose body has no end fails and uses little memory
    When target p1 sends answers whose health check has no end
    And the guard of p1 probes it after an ejection
    Then a probe has failed
    And target p1 has sent at most 40 MB and its connection is closed
    And the peak memory of no daemon grows by more than 8 MB
