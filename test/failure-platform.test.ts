import { testScenarios } from '../script/failure/scenario-tests.js'

testScenarios([
  { names: ['log-loses-answers', 'kill-plain-agent'], seed: 1 },
  { names: ['log-out', 'pause-entry'], seed: 2 },
  { names: ['chunks-corrupt', 'crash-engine'], seed: 3 },
  { names: ['silence-engine', 'silence-service'], seed: 4 },
  { names: ['engine-crosses-answers', 'service-crosses-answers'], seed: 5 }
])
