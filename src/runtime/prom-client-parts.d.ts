/** Types for modules of `prom-client` that are imported individually: its main module also loads the push gateway, and with it TLS. */
declare module 'prom-client/lib/counter.js' {
  import { Counter } from 'prom-client'
  export default Counter
}

declare module 'prom-client/lib/gauge.js' {
  import { Gauge } from 'prom-client'
  export default Gauge
}

declare module 'prom-client/lib/histogram.js' {
  import { Histogram } from 'prom-client'
  export default Histogram
}

declare module 'prom-client/lib/registry.js' {
  import { Registry } from 'prom-client'
  export default Registry
}
