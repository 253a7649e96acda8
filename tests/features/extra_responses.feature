Feature: Extra responses of a target belong to earlier requests

  # An earlier refusal that was written again made the outcome of the next call unknown.
  Scenario Outline: An extra response in front of the next one is skipped
    Given a target that has answered the requests a and b on a kept connection
    When it is sent the request c and writes <extra> before its response to c
    Then the response is that to c with its whole body
    And <count> extra responses were skipped
    And the connection is not used again

    Examples:
      | extra                                    | count |
      | a refusal of a                           | 1     |
      | a refusal of b                           | 1     |
      | an answer to a                           | 1     |
      | a chunked answer to b                    | 1     |
      | an answer to a and a refusal of b        | 2     |
      | an interim response and a refusal of a   | 1     |
      | an answer to a in two parts              | 1     |

  Scenario Outline: What may be the response to the request itself is not skipped
    Given a target that has answered the requests a and b on a kept connection
    When it is sent the request c and writes <extra> before its response to c
    Then the response is <seen>

    Examples:
      | extra                      | seen                     |
      | a refusal of z             | a refusal of z           |
      | a refusal without an ID    | a refusal without an ID  |
      | five refusals of a         | a refusal of a           |
      | an answer of 2 MB to a     | an answer to a           |
      | half a refusal of a        | no response              |

  Scenario Outline: A kept connection on which bytes arrive while it is idle is not used
    Given a target that has answered the requests a and b on a kept connection
    When it writes <extra> while the connection is idle
    Then the request c is sent on another connection and answered

    Examples:
      | extra                   |
      | a refusal of a          |
      | a refusal without an ID |
      | half a refusal of a     |

  # A refusal of an earlier attempt must not be taken for that of the repeated one.
  Scenario: A request is not repeated on a connection that carried it before
    Given a target that has answered the requests a and b on a kept connection
    When it is sent the request a again
    Then the request a is sent on another connection and answered
