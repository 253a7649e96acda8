Feature: A daemon tells which code it runs

  # Logs of daemons that ran older code did not show it.
  Scenario: The log of a daemon names the code that its command names
    Given a fleet of 1 daemons in makati
    And the fleet is ready with the settings of bantayog
    When the command "laburnumscaled --version" is run
    Then the line "daemon started" of d1 names the same code

  Scenario Outline: Sources differ from others in <part>
    Given a package with the module "first.py" that contains "a = 1"
    When the module <change>
    Then the digest of the package has changed

    Examples:
      | part       | change                           |
      | contents   | contains "a = 2"                 |
      | a name     | is renamed to "second.py"        |
      | the module | is copied to "folder/second.py" |

  # The command of an installation without the platform's package named another digest.
  Scenario: A missing package does not change the digest of the others
    Given a package with the module "first.py" that contains "a = 1"
    Then the digest is empty if a package is missing
    And the command names the same sources without the platform's package

  Scenario: The same sources in another folder have the same digest
    Given a package with the module "first.py" that contains "a = 1"
    When the package is moved, and its module gets other times
    Then the digest of the package is unchanged

  Scenario: The packages have the version that the daemon names
    Then each package of the repository has the version of the daemon
