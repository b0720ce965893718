Feature: A message between instances that fails costs itself alone
  Neither the other messages of its batch nor the connection are lost with it.

  Scenario: A message that can't be encoded is left out of its batch
    Given an instance that sends messages to another
    When it sends the messages 1, 2 and 3, of which 2 can't be encoded
    Then the messages "1 3" arrive over one connection

  Scenario: An answer that can't be encoded is left out of its acknowledgement
    Given an instance that sends messages to another
    When the other answers 1, 2 and 3 at once, of which the answer to 2 can't be encoded
    Then the answers "1 3" arrive over one connection

  Scenario: A message whose handling raises does not stop those after it
    Given an instance that sends messages to another
    When it sends the messages 1, 2 and 3, and the handling of 2 raises
    Then the messages "1 3" arrive over one connection
    And the error is counted once at the receiver

  Scenario: An acknowledgement that can't be read does not end the sender
    Given an instance that sends messages to another
    When the other's acknowledgements can't be read for 0.5 s
    Then messages arrive again afterwards

  Scenario: A batch that can't be taken apart costs itself
    Given an instance that sends messages to another
    When it sends a batch that is nested too deep, and then the message 3
    Then the messages "3" arrive over one connection
    And the error is counted once at the receiver

  Scenario Outline: A message of a batch that <fault> is left out
    When a batch of 3 messages is read, of which the second <fault>
    Then the first and the third are read

    Examples:
      | fault                       |
      | has fields of another type  |
      | has a field that isn't text |
      | has a field too few         |
      | has no kind                 |

  Scenario Outline: A message of an acknowledgement that <fault> is left out
    When an acknowledgement of 3 messages is read, of which the second <fault>
    Then the first and the third are read

    Examples:
      | fault                       |
      | has fields of another type  |
      | has a field that isn't text |

  Scenario: Whatever bytes come, a batch is read or refused as unreadable
    When 2000 changed batches are read, with seed 1
    Then no other error came of it
