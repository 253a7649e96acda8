Feature: The feature runner

  Scenario: A terminated run leaves no processes behind
    When the runner of path.feature gets SIGTERM once a daemon runs
    Then all processes of its session end within 10 s
