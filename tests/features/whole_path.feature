Feature: A returning chat is answered by the engine that holds its context

  Scenario: Turns of one chat through every host reach the same engine
    Given a fleet of two data centres with three hosts
    When a chat sends 6 turns through all hosts in turn
    Then every answer is whole
    And every turn after the first was answered from the cache

  Scenario: A call to a plain service runs once
    Given a fleet of two data centres with three hosts
    When a caller calls the ledger 3 times through all hosts in turn
    Then every call was answered and ran once
