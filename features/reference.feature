Feature: The reference pages match the code

  Scenario: The pages of result codes and settings are current
    Then docs/ERRORS.md and docs/SETTINGS.md are what the code defines

  Scenario: Result codes are unique, and none gives a retry time if a retry is not useful
    Then every result code has a number of its own
    And no code whose retry is not useful has a status that gives a retry time

  Scenario: Settings and options correspond one to one
    Then the settings class and the table of options have the same attributes

  Scenario: Every command has a page
    Then each command of the command line has a page in docs/commands

  Scenario: A reload with faults leaves the old settings running
    When running settings are reloaded from a file with a fault and then without one
    Then the first reload changes nothing and the second every setting that may change

  Scenario: Every fault of a settings file is found in one pass
    When a settings file with five faults is checked
    Then five faults are listed, each with its file, section, option and code

  Scenario: The example settings of both deployments are valid and follow the template
    Then every file of examples/ passes the check
    And each has the template's options, except for addresses and the data folder
