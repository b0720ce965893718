Feature: Only one folder depends on the users' platform
  The code for the names and formats of the users' platform stays in
  burdockwall/platform. Other modules neither depend on it nor use its names.

  Scenario: Only the command line imports the folder
    Then only the command line and the folder itself import "burdockwall.platform"

  Scenario: The platform's names are used in no other module
    Then no module outside the folder names a header or call of the platform

  Scenario: The folder stays small
    Then the folder has fewer than 1000 lines
