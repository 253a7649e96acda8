Feature: Errors that nobody expects have an outcome that is true

  A status that no response can have is no answer of the target, which may have run the
  call. An error in the entry is no answer either.

  Scenario Outline: A response with an invalid status makes the attempt unknown
    Given a target that answers with the status line <line>
    When its guard sends it an attempt
    Then the reply is <reply>

    Examples: 101 answers a request to switch protocols, which is never sent
      | line          | reply                  |
      | 200 OK        | status 200             |
      | 599 Odd       | status 599             |
      | 000 None      | unknown invalid_status |
      | 099 Odd       | unknown invalid_status |
      | 101 Switching | unknown invalid_status |
      | 600 Odd       | unknown invalid_status |
      | 999 Odd       | unknown invalid_status |

  Scenario Outline: The size that a response without a body states is not limited
    Given a target whose answer <line> states 9999999999 bytes
    When its guard sends it an attempt with the method <method>
    Then the reply is <reply>

    Examples: the length is that of the body that GET would give
      | line             | method | reply             |
      | 200 OK           | HEAD   | status 200        |
      | 304 Not Modified | GET    | status 304        |
      | 200 OK           | GET    | unknown cut_short |

  Scenario Outline: An entry does not forward an invalid status that a guard accepted
    Given a guard that replies with the status <status>
    When an entry makes a call that <kind>, with <targets> targets
    Then the outcome is <outcome> after <attempts> attempts

    Examples:
      | status | kind            | targets | outcome                | attempts |
      | 0      | may run once    | 2       | unknown invalid_status | 1        |
      | 700    | may run once    | 2       | unknown invalid_status | 1        |
      | 0      | may be repeated | 2       | unknown invalid_status | 2        |
      | 200    | may run once    | 2       | answered none          | 1        |

  Scenario Outline: A call that may have run is not answered "not run" by another target
    Given guards that reply in turn with <replies>
    When an entry makes a call that may be repeated, with 2 targets
    Then the outcome is <outcome> after 2 attempts
    And the caller gets the status <status>

    Examples: 500 is sent by a target that ran the call
      | replies              | outcome                 | status |
      | unknown, 429         | unknown cut_short       | 504    |
      | unknown, 503         | unknown cut_short       | 504    |
      | unknown, part of 503 | unknown cut_short       | 504    |
      | 503, unknown         | unknown cut_short       | 504    |
      | 500, 503             | answered none           | 500    |
      | 500, part of 429     | answered none           | 500    |
      | 503, 503             | answered none           | 503    |
      | 500, unknown         | answered none           | 500    |
      | unknown, 404         | answered none           | 404    |

  Scenario Outline: A failure in the code of an entry is not reported as a server error
    Given an entry whose code fails <when>
    When a caller sends it a request
    Then the caller gets the status <status> with the outcome <outcome>

    Examples:
      | when                       | status | outcome |
      | before it makes an attempt | 503    | not_run |
      | while it finds a target    | 503    | not_run |
      | after an attempt           | 504    | unknown |
      | while it sends the answer  | 504    | unknown |

    Examples: a response that is ready is delivered
      | when                       | status | outcome  |
      | while it logs the call     | 200    | answered |

  Scenario: The reasons of a newer daemon have a name
    Then the reason 999 of a call that was not run is named reason_999
    And the reason 999 of an unknown outcome is named reason_999
