Feature: Connections use TLS as the settings require

  Scenario: A caller uses TLS and HTTP/2
    Given certificates of one authority
    When a caller sends a turn over TLS with HTTP/2
    Then the answer came over HTTP/2 and a plaintext caller got none

  Scenario: Instances authenticate each other
    Given certificates of one authority
    When two instances exchange a message with certificates of the authority
    Then the message between instances arrives

  Scenario: An instance with a certificate of another authority is rejected
    Given certificates of one authority
    When an instance with a certificate of another authority sends a message
    Then the message between instances does not arrive

  Scenario: A plaintext instance is rejected
    Given certificates of one authority
    When an instance without a certificate sends a message
    Then the message between instances does not arrive

  Scenario: Plaintext between instances must be enabled in the settings
    When settings name other instances without TLS and without enabling plaintext
    Then the settings are refused at "[peers] instances"
