Feature: The guard of a target on trial chooses its trial calls

  Entries learn of a verdict from replies and gossip, so some send a call to a target
  without knowing that it is on trial. A call that may run only once would be lost there
  if the target still fails.

  Scenario Outline: Only calls that can be lost without harm become trial calls
    Given a guard whose target is on trial
    When it gets a call that <kind>, with a body that <body>
    Then the call is <result>

    Examples:
      | kind            | body                 | result              |
      | may be repeated | can be sent again    | the trial call      |
      | may run once    | can be sent again    | refused as ejected  |
      | may run once    | cannot be sent again | the trial call      |
      | is on its last attempt | can be sent again | refused as ejected |

  Scenario: Floor traffic is not refused by a target on trial
    Given a guard whose target is on trial
    When it gets floor traffic that may run once
    Then the call is admitted

  Scenario: A call that a target on trial refuses is served by another target
    Given 20 model targets, of which half are on trial and no entry knows it
    When 20 holds are sent one after another
    Then all of them are answered and none has run at a target on trial

  Scenario Outline: A target is in doubt until it has answered some calls in a row
    Given a guard with a target that <history>, and <needed> successes needed
    When the target answers calls: <results>
    Then a call that may run once is <result>

    Examples:
      | history                   | needed | results          | result              |
      | has just started          | 0      | none             | admitted            |
      | has just started          | 2      | none             | refused as in_doubt |
      | has just started          | 2      | good             | refused as in_doubt |
      | has just started          | 2      | good, good       | admitted            |
      | has just started          | 2      | good, bad, good  | refused as in_doubt |
      | has passed its trial      | 2      | none             | refused as in_doubt |
      | has passed its trial      | 2      | good, good       | admitted            |
      | has passed its trial      | 0      | none             | refused as in_doubt |
      | has passed its trial      | 0      | good, good       | refused as in_doubt |
      | returned without a trial  | 2      | none             | refused as in_doubt |
      | returned without a trial  | 2      | good, good       | admitted            |
      | started 6 s ago, untested | 2      | none             | refused as in_doubt |
      | got its first call 6 s ago | 2     | none             | admitted            |

  Scenario: A service whose calls may all run once does not lose its new targets
    Given 12 model targets that need 3 successes
    When 10 s of holds at 20 calls a second are sent to them
    Then all of them are answered, and every target has run some in the last 5 s
