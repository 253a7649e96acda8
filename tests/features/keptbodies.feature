Feature: Streamed bodies are kept so that an attempt can be sent again

  Scenario: Each copy of an attempt sends the whole body
    Given 500 random orders of up to 4 copies of a body, of which some are cancelled
    Then each copy that was not cancelled got the whole body
    And nothing is kept after the end of the attempts

  Scenario Outline: A body that breaks off is complete for no copy
    Given a body that breaks off after <count> parts
    When 3 copies read it one after the other
    Then 3 copies fail as incomplete

    Examples:
      | count |
      | 0     |
      | 1     |
      | 5     |

  Scenario: A body that is too large is sent by the first copy only
    Given a body of 3000000 bytes
    When 2 copies read it one after the other
    Then 1 copies fail as incomplete
    And it cannot be repeated
    And nothing is kept after the end of the attempts

  Scenario: A copy that falls behind a body that is too large fails
    Given a body of 3000000 bytes
    When one copy reads it to its end while another one has stopped after its first part
    Then 1 copies fail as incomplete
    And the other copy got the whole body

  Scenario: What is kept is bounded for all uploads together
    Given 40 bodies of 1000000 bytes that are read at the same time
    Then at most 16777216 bytes were kept
    And 16 of the bodies can be repeated
    And each of them was read completely
    And nothing is kept after the end of the attempts
