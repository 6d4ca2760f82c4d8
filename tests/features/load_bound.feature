Feature: No engine carries more than a set multiple of the mean load

  Scenario: Chats go on undisturbed
    Given a fleet whose sheet sets a multiple of 1.5 and many slots
    When 24 chats go on for 6 seconds
    Then every answer that was given is whole and its own
    And no engine ever carried more than 12 requests

  Scenario: A host is killed and replaced under load
    Given a fleet whose sheet sets a multiple of 1.5 and many slots
    When 24 chats go on while a host is killed and replaced
    Then every answer that was given is whole and its own
    And no engine ever carried more than 12 requests
