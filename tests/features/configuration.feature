Feature: An accepted configuration is in force on every router and never reverts

  Scenario: Operators race each other
    Given a fleet of two data centres with three hosts
    When 6 operators apply different sheets made from the same plan at once
    Then exactly one of them was accepted and all others were told of a conflict
    And the accepted configuration is in force on every host within 5 seconds

  Scenario: Answers are lost after the write took effect
    Given a fleet of two data centres with three hosts
    When a sheet is applied while the platform loses its answers
    Then the accepted configuration is in force on every host within 5 seconds

  Scenario: Hosts are replaced while the platform is down
    Given a fleet of two data centres with three hosts
    When a sheet is applied and the platform goes down at once
    And every host but one is killed and replaced
    Then the accepted configuration is in force on every host within 5 seconds
    And no host ever went back to an older configuration

  Scenario: One host is cut off from the platform
    Given a fleet whose hosts reach the platform through fault proxies
    When one host is cut off from the platform and a sheet is applied
    Then the accepted configuration is in force on every host within 5 seconds

  Scenario: A data centre is cut off and rejoins
    Given a fleet whose data centres can be cut off from each other
    When data centre "dc2" is cut off, a sheet is applied, and it rejoins
    Then every host went on serving
    And the accepted configuration is in force on every host within 10 seconds
    And no host ever went back to an older configuration

  Scenario: Control connections to some hosts go silent
    Given a fleet with three hosts whose connections can be silenced
    When control connections of "h1" and "h3" and all others of "h3" go silent
    Then every host went on serving
    And the accepted configuration is in force on every host within 10 seconds
    And no host ever went back to an older configuration
