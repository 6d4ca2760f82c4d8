Feature: Bad input gets one clear error and costs nothing else

  Scenario: Callers send what they should not
    Given a fleet of two data centres with three hosts
    Then each bad request gets its error and no host suffers

  Scenario: Operators use the command line
    Given a fleet of two data centres with three hosts
    Then the command line plans, applies, recalls, lifts, shows and drains
