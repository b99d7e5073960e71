Feature: Faults of single processes

  @fixture.deployment.association
  Scenario: A sidecar dies and comes back
    When the caller asks "tapster-lm/stall-0001:1" until there is an answer
    And process "sidecar-tapster-lm-1" is killed
    And the caller asks "tapster-lm/stall-0001:1" until there is an answer
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"
    When process "sidecar-tapster-lm-1" is started again
    And process "sidecar-tapster-lm-2" is killed
    And the caller asks "tapster-lm/stall-0002:1" until there is an answer
    Then the answer is from version 1 of "stall-0002" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.association
  Scenario: A sidecar freezes and goes on
    When process "sidecar-tapster-lm-1" is frozen
    And the caller asks "tapster-lm/stall-0001:1" until there is an answer
    And the caller asks "tapster-lm/stall-0002:1" until there is an answer
    And process "sidecar-tapster-lm-1" goes on
    And process "sidecar-tapster-lm-2" is frozen
    And the caller asks "tapster-lm/stall-0003:1" until there is an answer
    Then the answer is from version 1 of "stall-0003" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.association
  Scenario: Engines restart without their adapters
    When the caller asks "tapster-lm/stall-0001:1" until there is an answer
    And stand-in "tapster-lm-1" has faults '{"crash": true}'
    And stand-in "tapster-lm-2" has faults '{"crash": true}'
    And the caller asks "tapster-lm/stall-0001:1" until there is an answer
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.kauri-ridge
  Scenario: The platform's services are out
    When stand-in "table" has faults '{"frozen": true}'
    And stand-in "objects" has faults '{"down": "closed"}'
    And stand-in "vms" has faults '{"down": "503"}'
    And the caller asks "kernel-assist/grower-0001:1" until there is an answer
    Then the answer is from version 1 of "grower-0001" of "kernel-assist"

  @fixture.deployment.kauri-ridge
  Scenario: Some weights cannot be loaded
    When stand-in "weights" has faults '{"fail_paths": ["kernel-assist/grower-0001/1"]}'
    And the caller asks "kernel-assist/grower-0002:1" until there is an answer
    And stand-in "weights" has faults '{"fail_paths": []}'
    And the caller asks "kernel-assist/grower-0001:1" until there is an answer
    Then the answer is from version 1 of "grower-0001" of "kernel-assist"
