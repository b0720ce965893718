Feature: Journal and snapshot files store all acknowledged writes
  After partial writes, flipped bits or lost data, recovery returns what was synced or
  fails with an error code.

  Scenario: Generated writes, crashes and damage match a simple model
    Then 300 generated control journal histories match the model

  Scenario: A folder without its files is refused
    Given a control replica in a data folder
    When the control data folder is emptied and the replica is opened
    Then the control storage error is 2103

  Scenario: A folder of another instance is refused
    Given a control replica in a data folder
    When the control replica is opened by another instance
    Then the control storage error is 2104

  Scenario: A second process on the same folder is refused
    Given a control replica in a data folder
    When the control replica is opened twice
    Then the control storage error is 2104

  Scenario: A replica stops serving when its disk is full
    Given a control replica in a data folder
    When the control replica's disk is full and a change is proposed
    Then the control replica has failed and refuses changes

  Scenario: A single voter is killed at each of its file operations
    When a control voter is killed at each of its first 160 file operations
    Then every control voter has all changes that it acknowledged
