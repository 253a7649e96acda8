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

  Scenario: Floor traffic is not refused by a target on trial
    Given a guard whose target is on trial
    When it gets floor traffic that may run once
    Then the call is admitted

  Scenario: A call that a target on trial refuses is served by another target
    Given 20 model targets, of which half are on trial and no entry knows it
    When 20 holds are sent one after another
    Then all of them are answered and none has run at a target on trial
