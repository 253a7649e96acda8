Feature: The runner of the features

  Scenario: A run that is ended leaves no processes behind
    When the runner runs path.feature until a daemon runs and gets SIGTERM
    Then no process of its session is left within 10 s
