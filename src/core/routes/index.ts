/** Routes and the document that holds them. */
export * from './route.js'
export { findDocumentMistakes } from './check-document.js'
export { RouteTable, pickService } from './route-table.js'
