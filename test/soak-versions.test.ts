/** Short soak runs with endpoints of several software versions, and with harmful parts of prompts. */
import { testHistories } from './support/soak-histories.js'

testHistories([
  { seed: 1101, seconds: 8, gateways: 4, registries: 3, endpoints: 8, versions: 2, why: 'streams at endpoints of two software versions' },
  { seed: 35017, seconds: 8, gateways: 3, registries: 3, endpoints: 9, versions: 3, why: 'streams at endpoints of three software versions' },
  { seed: 51013, seconds: 10, gateways: 4, registries: 3, endpoints: 9, versions: 2, harmfulParts: 2, why: 'requests with harmful parts beside streams of two software versions' }
])
