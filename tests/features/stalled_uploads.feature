Feature: Uploads that stall give up their slots and are answered truthfully

  Background:
    Given 2 daemons that give up transfers after 1000 ms
    And a target with one slot beside d2

  Scenario Outline: A <kind> body that stops after the target has got a part is unknown
    When a caller of <daemon> sends a <kind> body that stops short of its end
    Then the caller gets status 504 with the outcome "unknown" because of "cut_short"
    And an ordinary request to <daemon> is answered although the caller stays connected

    Examples:
      | kind      | daemon |
      | announced | d1     |
      | announced | d2     |
      | chunked   | d1     |
      | chunked   | d2     |

  Scenario: A small body that stops reaches no target, so its call was not run
    When a caller of d1 sends a small body that stops short of its end
    Then the caller gets status 408 with the outcome "not_run" because of "bad_request"
    And the target has run no call

  Scenario: Callers that stall are not held against their target
    When 6 callers of d1, one after the other, send a chunked body that stops short of its end
    Then no daemon has ejected the target

  Scenario: A caller that pauses for less than the limit is served
    When a caller of d1 sends a chunked body with 4 pauses of 600 ms
    Then its request is answered with status 200

  Scenario: A caller that does not read its response is disconnected
    When a caller of d1 asks for a response of 16000000 bytes and does not read it
    Then an ordinary request to d1 is answered although the caller stays connected

  Scenario: A caller that asks for another protocol is disconnected as well
    When a caller of d1 sends a request with "Upgrade: websocket" that takes 7000 ms
    And it then asks for a response of 16000000 bytes on its connection and does not read it
    Then an ordinary request to d1 is answered although the caller stays connected

  Scenario: A caller that goes on sending but does not read its response is disconnected
    When a caller of d1 asks for a response of 16000000 bytes, does not read it and goes on sending
    Then an ordinary request to d1 is answered although the caller stays connected

  Scenario: Chunks of 16 bytes arrive as they were sent
    When a caller of d1 sends 200000 bytes in chunks of 16 bytes
    Then the target has got exactly these bytes
