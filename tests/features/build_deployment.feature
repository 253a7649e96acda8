Feature: A deployment never runs older code than its sources

  Background:
    Given a checkout with a module that prints "old"
    And the deployment of the checkout is built

  # Daemons ran the copies of an older checkout, with faults that had been fixed since.
  Scenario: A folder that was built before the sources changed runs the new ones
    When the module is changed to print "new", with the size and times that it had
    Then the module of the deployment prints "new"

  Scenario: The folder is moved with its checkout
    When the checkout is moved, and the module is changed to print "new"
    Then the module of the deployment prints "new"

  # Modules of another version stayed in the folder.
  Scenario: A module that the sources no longer have is removed
    When the module is removed and the deployment of the checkout is built
    Then the deployment does not have the module

  # A folder that was carried over is newer than the list of the pinned libraries.
  Scenario Outline: Libraries for another <kind> are replaced
    Given the deployment of the checkout is built on another <kind>
    When the deployment of the checkout is built
    Then its libraries are those of this interpreter and machine

    Examples:
      | kind        |
      | machine     |
      | interpreter |

  Scenario: Libraries that fit are not installed again
    When the deployment of the checkout is built
    Then libraries were installed 1 times

  Scenario: Libraries whose installation failed are installed by the next build
    Given the pinned libraries have changed
    When the installation of libraries fails in a build
    And the deployment of the checkout is built
    Then its libraries are those of this interpreter and machine
    And libraries were installed 2 times
