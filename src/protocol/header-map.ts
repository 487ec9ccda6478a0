/** Header values by name in lower case, as parsed by Node. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>
