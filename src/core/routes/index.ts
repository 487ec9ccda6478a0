/** Routes and the routing document. */
export * from './route.js'
export { findDocumentMistakes } from './check-document.js'
export { RouteTable, pickService } from './route-table.js'
