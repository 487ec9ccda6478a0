/** Short soak runs, among them seeds that once failed. */
import { testHistories } from './support/soak-histories.js'

testHistories([
  { seed: 1, seconds: 6, gateways: 3, registries: 3, why: 'SIGHUP terminated a gateway that was still starting' },
  { seed: 27, seconds: 6, gateways: 3, registries: 3, why: 'a second SIGTERM, which requests an immediate exit, counted as a graceful stop' },
  { seed: 7, seconds: 6, gateways: 2, registries: 5, why: 'five registries' },
  { seed: 2, seconds: 15, gateways: 3, registries: 3, engines: 4, why: 'claim tags were refused while fitting quotes were let in' }
])
