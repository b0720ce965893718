Feature: Journal and snapshot files hold what was acknowledged
  Whatever is written, torn, flipped or cut off, recovery gives back what was synced,
  or refuses with a number.

  Scenario: Generated writes, crashes and damage against a plain model
    Then 300 generated control journal histories match the model

  Scenario: A folder that lost its files is refused
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

  Scenario: A full disk makes a replica step aside
    Given a control replica in a data folder
    When the control replica's disk is full and a change is proposed
    Then the control replica has stepped aside and refuses changes

  Scenario: A single voter is killed at each of its file operations
    When a control voter is killed at each of its first 160 file operations
    Then every control voter kept what it had acknowledged
