Feature: Bodies in chunks are read to their end, and no further

  Background:
    Given 2 daemons that give up transfers after 1000 ms
    And a target with one slot beside d2

  Scenario Outline: A body in chunks with <kind> is served, and so is the next request
    When a caller of d1 sends a body in chunks with <kind>, and another request behind it
    Then its request is answered with status 200
    And the target has got exactly these bytes
    And the other request is answered with status 200

    Examples:
      | kind                           |
      | nothing else                   |
      | trailer fields                 |
      | trailer fields in pieces       |
      | an extension of the last chunk |
      | a last chunk of several zeros  |
      | the coding in capitals         |

  Scenario Outline: What follows <kind> is not read as a request
    When a caller of d1 sends a body in chunks with <kind>, and another request behind it
    Then its request is refused or unknown
    And the target has not run the other request

    Examples:
      | kind                           |
      | a trailer line without a colon |
      | a trailer section of 20000 B   |
      | a trailer with a bare newline  |
