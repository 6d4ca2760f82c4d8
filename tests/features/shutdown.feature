Feature: A graceful shutdown cuts off no request in progress

  Scenario: Each host leaves in turn under load
    Given a fleet of two data centres with three hosts
    When each host in turn is told to leave and replaced while chats go on
    Then every answer that was given is whole and its own
    And no caller had a broken or refused answer

  Scenario: Two hosts leave at once under load
    Given a fleet of two data centres with three hosts
    When two hosts are told to leave at once while chats go on
    Then every answer that was given is whole and its own
    And no caller had a broken or refused answer
