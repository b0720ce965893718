Feature: Only one folder knows the platform
  What speaks to the users' platform stays in burdockwall/platform, decides nothing that
  others need, and lends nobody its words.

  Scenario: Nothing but the start imports the folder
    Then only the command line and the folder itself import "burdockwall.platform"

  Scenario: The platform's names stand nowhere else
    Then no module outside the folder names a header or call of the platform

  Scenario: The folder stays small
    Then the folder has fewer than 1000 lines
