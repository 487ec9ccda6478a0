/** True for a status that ends an HTTP exchange and can be passed on: 1xx is interim, and others are not defined. */
export function isAnswerStatus (status: number): boolean { return status >= 200 && status <= 599 }
