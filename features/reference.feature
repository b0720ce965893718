Feature: The reference pages say what the code defines

  Scenario: The pages of result codes and settings are current
    Then docs/ERRORS.md and docs/SETTINGS.md are what the code defines

  Scenario: Result codes are unique and none claims too much
    Then every result code has a number of its own
    And every code that names a retry that is never useful has no time to come again

  Scenario: Every setting has one option and the other way round
    Then the settings class and the table of options have the same attributes

  Scenario: Every command has a page
    Then each command of the command line has a page in docs/commands

  Scenario: A reload with faults leaves the old settings running
    When settings in use are reloaded from a file with a fault and then without
    Then the first reload changes nothing and the second what can change

  Scenario: Every fault of a settings file is found in one pass
    When a settings file with five faults is checked
    Then five faults are listed, each with its file, section, option and code

  Scenario: The ready settings of both deployments have no fault and follow the template
    Then every file of examples/ passes the check
    And each has the template's options, but for addresses and the data folder
