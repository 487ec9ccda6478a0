/** Severity of a logged event. */
export type LogLevel = 'info' | 'warn' | 'error'
