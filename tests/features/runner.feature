Feature: The feature runner

  Scenario: A terminated run leaves no processes behind
    When the runner of path.feature gets SIGTERM once a daemon runs
    Then all processes of its session end within 10 s

  Scenario Outline: A feature runs alone if it has the tag before its title
    Given a feature file that begins with "<text>"
    Then the runner <decision>

    Examples:
      | text                      | decision                    |
      | @alone Feature: A         | runs it after the others    |
      | @slow @alone Feature: A   | runs it after the others    |
      | Feature: A @alone         | runs it beside the others   |
      | @alone-ish Feature: A     | runs it beside the others   |
